"""Adapter to the users' platform: its store, advice service and workers.

It translates messages and takes no scheduling decisions.
"""
