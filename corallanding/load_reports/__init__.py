"""Load reports of hosts.

Without I/O: their encoding (`envelope`, `orca`), the selection of reports under overload (`load_shedding`), and the
weights derived from them (`load_estimator`, `weights`). With I/O: the process that receives them (`intake`) and the
controller's connection to it (`feed`).
"""
