package switchgap.protocol.resp;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import switchgap.router.WorkerEntry;

/** The order and the maximum size of the queue of waiting exchanges. */
class WaitingExchangesTest {
  private final WorkerEntry worker = new WorkerEntry("w", "127.0.0.1", 1, 0);
  private final WaitingExchanges waitingExchanges = new WaitingExchanges(3);

  private RespExchange addExchange(String replyId) {
    RespExchange exchange =
        RespExchange.ofCommand(
            worker, replyId, false, new byte[0], 0, (core, outcome, reply) -> {});
    waitingExchanges.add(exchange);
    return exchange;
  }

  private List<String> waitingReplyIds() {
    List<String> replyIds = new ArrayList<>();
    waitingExchanges.removeIfHandled(
        exchange -> {
          replyIds.add(exchange.replyId());
          return false;
        });
    return replyIds;
  }

  @Test
  void isFullAtMaximumSize() {
    addExchange("first");
    addExchange("second");
    assertThat(waitingExchanges.isFull()).isFalse();
    addExchange("third");
    assertThat(waitingExchanges.isFull()).isTrue();
  }

  @Test
  void keepsUnhandledExchangesInOrder() {
    addExchange("first");
    RespExchange second = addExchange("second");
    addExchange("third");
    waitingExchanges.removeIfHandled(exchange -> exchange == second);
    assertThat(waitingReplyIds()).containsExactly("first", "third");
  }

  @Test
  void doesNotPassRemovedExchangeToHandler() {
    RespExchange first = addExchange("first");
    addExchange("second");
    waitingExchanges.remove(first);
    assertThat(waitingReplyIds()).containsExactly("second");
  }
}
