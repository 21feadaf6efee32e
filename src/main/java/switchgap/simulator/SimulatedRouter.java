package switchgap.simulator;

import java.nio.ByteBuffer;
import switchgap.config.PropertyRouterSettings;
import switchgap.policy.RoutingPolicy;

/**
 * A router in the simulation: a routing policy that receives the router's events of each frame. The
 * failure of a policy is reported once; after it, the router makes no further decisions.
 */
final class SimulatedRouter {
  private final long startMicros;
  private final ActionRecordEncoder actions;
  private EventRecordDecoder events;

  /** Null after the policy has failed, or if the settings are invalid. */
  private RoutingPolicy policy;

  /**
   * Starts a router.
   *
   * @param routerId id of the router in records
   * @param startMicros simulated time of the start, in microseconds
   * @param seed seed of the policy's random numbers
   * @param settingsText settings as lines of path=value
   * @param reply receives the router's decisions
   */
  SimulatedRouter(
      int routerId, long startMicros, long seed, String settingsText, ReplyFrame reply) {
    this.startMicros = startMicros;
    IndexTables indices = new IndexTables();
    actions = new ActionRecordEncoder(routerId, indices, reply);
    try {
      PropertyRouterSettings settings = PropertyRouterSettings.parse(settingsText);
      events = new EventRecordDecoder(indices, new LoadReportDecoder(settings), startMicros);
      policy = new RoutingPolicy(settings, seed);
    } catch (RuntimeException e) {
      actions.policyFailed(e);
    }
  }

  /** Adds an event by its offset in the body of the current frame. */
  void addEvent(int offset) {
    if (policy != null) {
      events.addEvent(offset);
    }
  }

  /** Adds an event that delivers an endpoint list. */
  void addEndpointList(int offset, byte[] content) {
    if (policy != null) {
      events.addEndpointList(offset, content);
    }
  }

  /** Delivers the added events to the policy and adds its decisions to the reply. */
  void tick(ByteBuffer frameBody, long clockMicros) {
    if (policy == null) {
      return;
    }
    events.setBody(frameBody);
    try {
      policy.tick(WireValues.ofMicros(clockMicros - startMicros), events, actions);
    } catch (RuntimeException e) {
      actions.policyFailed(e);
      policy = null;
    }
    events.clear();
  }
}
