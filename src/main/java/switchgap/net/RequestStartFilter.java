package switchgap.net;

import org.glassfish.grizzly.attributes.Attribute;
import org.glassfish.grizzly.filterchain.BaseFilter;
import org.glassfish.grizzly.filterchain.FilterChainContext;
import org.glassfish.grizzly.filterchain.NextAction;

/**
 * Runs before the HTTP filter to record when a request starts, even if its head is never completed.
 */
final class RequestStartFilter extends BaseFilter {
  private final Attribute<ServerConnectionState> states;

  RequestStartFilter(Attribute<ServerConnectionState> states) {
    this.states = states;
  }

  @Override
  public NextAction handleRead(FilterChainContext context) {
    states.get(context.getConnection()).bytesArrived();
    return context.getInvokeAction();
  }
}
