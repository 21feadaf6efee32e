package switchgap.server.gateway;

import java.util.HashMap;
import java.util.Map;
import switchgap.router.WorkerCommand;
import switchgap.router.WorkerEntry;

/**
 * Load commands that wait for a plan, with all that is needed to send them later. Found by the id
 * under which the planner knows them, or by their command. Belongs to the event loop.
 */
final class DelayedLoads {
  /** The arguments of a load command that waits. */
  record DelayedLoad(WorkerEntry worker, String function, int replicas, WorkerCommand command) {}

  private final Map<Long, DelayedLoad> loadsById = new HashMap<>();
  private final Map<WorkerCommand, Long> idsByCommand = new HashMap<>();

  void add(long id, DelayedLoad load) {
    loadsById.put(id, load);
    idsByCommand.put(load.command(), id);
  }

  /** Removes the load with this id, which must wait, and returns it. */
  DelayedLoad remove(long id) {
    DelayedLoad load = loadsById.remove(id);
    idsByCommand.remove(load.command());
    return load;
  }

  /** The id of the load that this command waits for, or null where it does not wait. */
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
