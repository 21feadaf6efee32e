package switchgap.server.gateway;

import java.util.HashMap;
import java.util.Map;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;

/**
 * Load commands that wait for a plan, with the arguments needed to send them later. Indexed by the
 * id that the planner uses and by command. Confined to the event loop.
 */
final class DelayedLoads {
  /** The arguments of a load command that waits for a plan. */
  record DelayedLoad(WorkerEntry worker, String function, int replicas, WorkerCommand command) {}

  private final Map<Long, DelayedLoad> loadsById = new HashMap<>();
  private final Map<WorkerCommand, Long> idsByCommand = new HashMap<>();

  void add(long id, DelayedLoad load) {
    loadsById.put(id, load);
    idsByCommand.put(load.command(), id);
  }

  /** Removes and returns the load with this id, which must be present. */
  DelayedLoad remove(long id) {
    DelayedLoad load = loadsById.remove(id);
    idsByCommand.remove(load.command());
    return load;
  }

  /** Returns the id of the load that the command belongs to, or null if it does not wait. */
  Long idOf(WorkerCommand command) {
    return idsByCommand.get(command);
  }

  boolean contains(long id) {
    return loadsById.containsKey(id);
  }

  int size() {
    return loadsById.size();
  }

  boolean isEmpty() {
    return loadsById.isEmpty();
  }
}
