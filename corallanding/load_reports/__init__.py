"""Load reports of hosts: their form (`envelope`, `orca`), which are processed when there are too many
(`load_shedding`), and the weights that follow from them (`load_estimator`, `weights`), all pure; the process that
receives them (`intake`) and the controller's end of it (`feed`)."""
