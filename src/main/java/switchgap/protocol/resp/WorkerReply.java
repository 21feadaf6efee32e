package switchgap.protocol.resp;

import java.nio.charset.StandardCharsets;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/**
 * One reply of a worker: an array of id, status word, fields and body.
 *
 * @param id the id or tag of the command that it replies to
 * @param status its status; null where the protocol does not have the word
 * @param fields its named fields
 * @param body the result of an execution, else empty
 */
record WorkerReply(String id, ReplyStatus status, ReplyFields fields, byte[] body) {
  private static final int PARTS = 4;
  private static final int ID_PART = 0;
  private static final int STATUS_PART = 1;
  private static final int FIELDS_PART = 2;
  private static final int BODY_PART = 3;

  /** The longest id, tag or status word. */
  private static final int MAX_NAME_BYTES = 64;

  /**
   * Parses the parts of an array.
   *
   * @throws MalformedReplyException where the number of parts differs, the id or the status is too
   *     long, or a field has no name
   */
  static WorkerReply parse(byte[][] parts) throws MalformedReplyException {
    if (parts.length != PARTS
        || parts[ID_PART].length > MAX_NAME_BYTES
        || parts[STATUS_PART].length > MAX_NAME_BYTES) {
      throw new MalformedReplyException(
          "reply of " + parts.length + " parts, or with an id or a status that is too long");
    }
    return new WorkerReply(
        text(parts[ID_PART]),
        ReplyStatus.ofWord(text(parts[STATUS_PART])),
        ReplyFields.parse(text(parts[FIELDS_PART])),
        parts[BODY_PART]);
  }

  private static String text(byte[] bytes) {
    return new String(bytes, StandardCharsets.ISO_8859_1);
  }

  /** The outcome that the status proves; null where the protocol does not have the status word. */
  AttemptOutcome outcome() {
    return status == null ? null : status.outcome();
  }

  /** The number of loaded replicas in the reply to a load command; 0 where it is not stated. */
  int replicas() {
    return fields.replicas();
  }

  /**
   * Returns the load that the reply reports of its worker.
   *
   * @param reportsConcurrency whether workers report their concurrency, so that a reply to an
   *     execution without the field means a concurrency of 0
   */
  LoadReport loadReport(boolean reportsConcurrency) {
    boolean repliesToExecution = status == ReplyStatus.DATA || status == ReplyStatus.FULL;
    int concurrency =
        reportsConcurrency && repliesToExecution
            ? fields.concurrency()
            : LoadReport.NONE.concurrency();
    return fields.loadReport(concurrency);
  }
}
