"""Run one host process of the soak."""

from kingcuplug_soak._host_process import main

main()
