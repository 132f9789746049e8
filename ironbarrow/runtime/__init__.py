"""The loop and the sockets under everything else; knows no protocol and no job."""
