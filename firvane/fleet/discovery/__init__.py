"""Knowledge of the backends' instances: the platform's paged list, sticky states and the record passed on."""
