"""Health-gated roll-outs of named services: advance while copies prove healthy, else return."""
