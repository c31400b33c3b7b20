"""Health-gated roll-outs of named services: advance while new copies are healthy, else return."""
