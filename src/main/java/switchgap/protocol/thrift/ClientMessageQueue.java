package switchgap.protocol.thrift;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The messages of one connection that wait for the event loop, in the order of their arrival. The
 * selector thread adds them, and the event loop takes them. Its heap counts in the connection's
 * share of the capacity for all clients.
 */
final class ClientMessageQueue {
  private final Queue<QueuedMessage> messages = new ConcurrentLinkedQueue<>();
  private final AtomicInteger size = new AtomicInteger();
  private final AtomicBoolean isTurnScheduled = new AtomicBoolean();
  private final SharedCapacity.Share heap;

  ClientMessageQueue(SharedCapacity.Share heap) {
    this.heap = heap;
  }

  /** Counts a message that is about to be added, so that the connection is no longer idle. */
  void reserve() {
    size.incrementAndGet();
  }

  /** Undoes {@link #reserve} for a message that is not added. */
  void cancelReservation() {
    size.decrementAndGet();
  }

  /** Adds a message for which {@link #reserve} was called. */
  void add(QueuedMessage message) {
    heap.add(message.heapBytes());
    messages.add(message);
  }

  /** Takes the oldest message; returns null if there is none. */
  QueuedMessage poll() {
    QueuedMessage message = messages.poll();
    if (message != null) {
      size.decrementAndGet();
      heap.subtract(message.heapBytes());
    }
    return message;
  }

  boolean isEmpty() {
    return messages.isEmpty();
  }

  /** Number of messages, including those that are about to be added. */
  int size() {
    return size.get();
  }

  /** Number of submits in the queue. */
  int submitCount() {
    return (int) messages.stream().filter(QueuedMessage.Submit.class::isInstance).count();
  }

  /** Marks a turn as scheduled; returns false if one was scheduled before. */
  boolean scheduleTurn() {
    return isTurnScheduled.compareAndSet(false, true);
  }

  /** Marks that no turn is scheduled any more. */
  void turnEnded() {
    isTurnScheduled.set(false);
  }
}
