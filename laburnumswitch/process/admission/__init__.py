"""Admission of declared jobs and services, and completion of jobs."""
