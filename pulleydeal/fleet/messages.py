"""Messages of the cloud's interface; field names on the wire differ from ours (PROTOCOL)."""

import msgspec
from msgspec import Struct

from pulleydeal.store.records import MachineType


class CloudMachineType(Struct):
    name: str
    cpus: float = msgspec.field(name="vcpus")
    memory: float = msgspec.field(name="ram_gb")
    cache_gb: float
    fetch_gb_per_s: float
    price: float = msgspec.field(name="hourly")
    spot_price: float = msgspec.field(name="market_price")
    boot_s: float = msgspec.field(name="ready_s")
    zones: list[str] = msgspec.field(name="yards")
    gpus: float = msgspec.field(name="accelerators", default=0.0)

    def machine_type(self) -> MachineType:
        return MachineType(
            self.name,
            self.cpus,
            self.gpus,
            self.memory,
            self.cache_gb,
            self.fetch_gb_per_s,
            self.price,
            self.spot_price,
            self.boot_s,
            self.zones,
        )


class CloudCatalog(Struct):
    types: list[CloudMachineType] = msgspec.field(name="rig_models")


class RentalAnswer(Struct):
    machines: list[str] = msgspec.field(name="blocks")


class ListedMachine(Struct):
    id: str = msgspec.field(name="name_id")
    addr: str
    type: str = msgspec.field(name="rig_model")
    zone: str = msgspec.field(name="yard")
    spot: bool = msgspec.field(name="loaners")
    state: str = msgspec.field(name="tension")
    age_s: float = msgspec.field(name="held_s")


class MachineList(Struct):
    machines: list[ListedMachine] = msgspec.field(name="blocks")
    more: bool = msgspec.field(name="truncated", default=False)


CATALOG_DECODER = msgspec.json.Decoder(CloudCatalog)
RENTAL_DECODER = msgspec.json.Decoder(RentalAnswer)
LISTING_DECODER = msgspec.json.Decoder(MachineList)


def rental_request(
    request: str, type_: str, zone: str, spot: bool, count: int
) -> dict[str, object]:
    return {"hire": request, "rig_model": type_, "yard": zone, "loaners": spot, "count": count}


def return_request(machines: list[str]) -> dict[str, object]:
    return {"blocks": machines}
