"""The router fleet for language models: routers, controllers, and what they share."""
