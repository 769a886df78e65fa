"""What a proxy is told when it starts, in the platform's form and in its own."""
