"""HTTP/1.1 connections to the application, to upstreams and to discovery."""
