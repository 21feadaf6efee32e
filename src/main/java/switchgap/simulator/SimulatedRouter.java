package switchgap.simulator;

import java.nio.ByteBuffer;
import switchgap.config.PropertyRouterSettings;
import switchgap.policy.RoutingPolicy;

/**
 * One router of the simulation: a policy that receives the events of each frame. A policy that
 * fails is reported once and decides nothing from then on.
 */
final class SimulatedRouter {
  private final long startMicros;
  private final ActionRecordEncoder actions;
  private EventRecordDecoder events;

  /** Null once it has failed, or where the settings are unusable. */
  private RoutingPolicy policy;

  /**
   * A router that starts now.
   *
   * @param startMicros the simulator's time
   * @param seed of all random draws
   * @param settingsText lines of path=value
   * @param reply takes its decisions
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

  /** Adds the event at an offset in the body of the frame under way. */
  void addEvent(int offset) {
    if (policy != null) {
      events.addEvent(offset);
    }
  }

  /** Adds an endpoint list that came, with its content. */
  void addEndpointList(int offset, byte[] content) {
    if (policy != null) {
      events.addEndpointList(offset, content);
    }
  }

  /** Delivers the added events to the policy and encodes its decisions. */
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
