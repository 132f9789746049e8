"""Simulations of whole fleets on a virtual network, and link faults between real dispatcher processes."""
