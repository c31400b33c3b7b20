"""This feature's constants, each with its unit and the reason for its value."""

FORMAT = 2  # of what nodes tell one another and write; shown durably. 1: kept for 90 s at most
KEEP_AFTER_S = 3.5  # out of reach so long before it begins: workers come after 5 s of silence
CONTACT_S = 2.5  # a sibling's answer not older than this is contact; below KEEP_AFTER_S
STANDING_S = 0.5  # how often nodes tell each other how they stand, as heartbeats
TELL_WAIT_S = 0.5  # who cancels waits so long for the other nodes; an answer takes milliseconds
TELL_LOOK_S = 0.01  # how often it looks meanwhile; the answer is there within a few

# --- a zone that is out of sight ------------------------------------------------------------
UNTOLD_RETURN_S = 30.0  # users repeat a cancel for 60 s: half is left for the cloud's answer
EVACUATE_BOOTS = 4.0  # a zone silent for so many boots: by then its work had long run elsewhere
SLICE_SHARE = 1 / 12  # of its machines given back at once: what lives there loses no more
DISTRUST_S = 5.0  # a zone that came back: nothing is rented there so long, twice as long each time
DISTRUST_MOST_S = 160.0  # the longest of it: a zone is never shut out for ever
FLAP_WINDOW_S = 900.0  # a zone whole for so long starts anew

# --- a node that hears none of its machines -------------------------------------------------
DEAF_SHARE = 0.8  # part of one's machines of a zone, quiet at once, that others hear
DEAF_FEW = 4  # fewer machines say nothing about the node
DEAF_LOOKS = 2  # looks in a row (STANDING_S apart) before it hands them over
HEAR_PROBES = 3  # machines of the zone that are asked to find out whether it hears again
HEAR_AGAIN_S = 6.0  # they answer for so long before it takes machines back; doubles each time
HEAR_AGAIN_MOST_S = 180.0  # the longest of it
