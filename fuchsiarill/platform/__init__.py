"""Adapter to the users' platform: its store, advice service and workers.

It translates messages and makes no scheduling decisions.
"""
