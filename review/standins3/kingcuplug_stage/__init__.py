"""Stand-ins of the third review: servers, clients, the platform and the operator."""
