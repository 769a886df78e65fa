"""The control service: the module's decisions handed out to other proxies through xDS (docs/control.md)."""
