package switchgap.protocol.resp;

import java.nio.charset.StandardCharsets;
import switchgap.policy.api.AttemptOutcome;
import switchgap.policy.api.LoadReport;

/**
 * A reply from a worker: an array of id, status word, fields and body.
 *
 * @param id the id or tag of the command that the worker replied to
 * @param status the status, or null if the protocol does not define the status word
 * @param fields the named fields
 * @param body the result of an execution, otherwise empty
 */
record WorkerReply(String id, ReplyStatus status, ReplyFields fields, byte[] body) {
  private static final int PART_COUNT = 4;
  private static final int ID_PART = 0;
  private static final int STATUS_PART = 1;
  private static final int FIELDS_PART = 2;
  private static final int BODY_PART = 3;

  /** Maximum length of an id, a tag or a status word. */
  private static final int MAX_NAME_BYTES = 64;

  /**
   * Parses the parts of an array.
   *
   * @throws MalformedReplyException if the array does not have four parts, the id or the status is
   *     too long, or a field has no name
   */
  static WorkerReply parse(byte[][] parts) throws MalformedReplyException {
    if (parts.length != PART_COUNT
        || parts[ID_PART].length > MAX_NAME_BYTES
        || parts[STATUS_PART].length > MAX_NAME_BYTES) {
      throw new MalformedReplyException(
          "reply has "
              + parts.length
              + " parts instead of "
              + PART_COUNT
              + ", or its id or status is longer than "
              + MAX_NAME_BYTES
              + " bytes");
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

  /**
   * The outcome that corresponds to the status, or null if the protocol does not define the status
   * word.
   */
  AttemptOutcome outcome() {
    return status == null ? null : status.outcome();
  }

  /**
   * The number of loaded replicas in the reply to a load command, or 0 if the reply does not state
   * it.
   */
  int replicas() {
    return fields.replicas();
  }

  /**
   * Returns the worker's load as reported in the reply.
   *
   * @param reportsConcurrency whether workers report their concurrency, so that a reply to an
   *     execution without the field means a concurrency of 0
   */
  LoadReport loadReport(boolean reportsConcurrency) {
    boolean isExecutionReply = status == ReplyStatus.DATA || status == ReplyStatus.FULL;
    int concurrency =
        reportsConcurrency && isExecutionReply
            ? fields.concurrency()
            : LoadReport.NONE.concurrency();
    return fields.loadReport(concurrency);
  }
}
