"""Tests the base class of background tasks."""

from __future__ import annotations

import importlib
import pkgutil
import unittest

from lavendershed import daemon
from lavendershed.daemon import allocation_manager
from lavendershed.daemon import background
from lavendershed.daemon import booking_retention
from lavendershed.daemon import bookings
from lavendershed.daemon import configuration_sync
from lavendershed.daemon import engine_observer
from lavendershed.daemon import limit_share_source
from lavendershed.daemon import memory_reclaimer
from lavendershed.daemon import peer_configuration
from lavendershed.daemon import peer_network
from lavendershed.daemon import placement_loop
from lavendershed.daemon import status_writer
from lavendershed.daemon import vm_list_poller

LOG_NAMES: dict[type[background.BackgroundTask], str] = {
    allocation_manager.AllocationManager: "LedgerKeeper",
    booking_retention.BookingRetention: "BookingRetention",
    bookings.BookingExecutor: "Bookings",
    configuration_sync.ConfigurationSync: "ConfigurationSync",
    engine_observer.EngineObserver: "EngineObserver",
    limit_share_source.PeerShareSource: "PeerShareSource",
    memory_reclaimer.MemoryReclaimer: "MemoryReclaimer",
    peer_configuration.PeerConfiguration: "PeerConfiguration",
    peer_network.PeerNetwork: "PeerNetwork",
    placement_loop.PlacementLoop: "PlacementLoop",
    status_writer.StatusWriter: "StatusWriter",
    vm_list_poller.VmListPoller: "VmListPoller",
}


class LogNameTest(unittest.TestCase):
    """Fails if a rename of a task class changes the values in the log."""

    def test_log_names_are_stable(self):
        for task_type, log_name in LOG_NAMES.items():
            with self.subTest(log_name=log_name):
                # The name depends on the type only, so the task is not set up.
                task = task_type.__new__(task_type)
                self.assertEqual(task.log_name, log_name)

    def test_all_tasks_of_the_daemon_are_listed(self):
        for module in pkgutil.iter_modules(daemon.__path__):
            importlib.import_module(f"lavendershed.daemon.{module.name}")
        task_types = {
            task_type
            for task_type in background.BackgroundTask.__subclasses__()
            if task_type.__module__.startswith("lavendershed.daemon.")
        }
        self.assertEqual(task_types, set(LOG_NAMES))


if __name__ == "__main__":
    unittest.main()
