//! Edges to the platform: log service, instance list, engines and services.
