"""The controller: custody of the configuration, the list of backends, the operators' API."""
