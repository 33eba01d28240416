"""Attribution of task failures: to a faulty machine, or to a faulty job."""
