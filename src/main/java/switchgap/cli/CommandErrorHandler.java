package switchgap.cli;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;
import switchgap.config.InvalidConfigException;

/**
 * Prints why a command failed. Invalid configurations and I/O errors are reported in one line, all
 * other exceptions with their stack trace.
 */
final class CommandErrorHandler implements IExecutionExceptionHandler {
  @Override
  public int handleExecutionException(
      Exception exception, CommandLine command, ParseResult parsed) {
    boolean isInputOrIoError =
        exception instanceof InvalidConfigException || exception instanceof IOException;
    String message = isInputOrIoError ? message(exception) : exception.toString();
    command.getErr().println("switchgap: " + message);
    if (!isInputOrIoError) {
      exception.printStackTrace(command.getErr());
    }
    return exception instanceof InvalidConfigException ? ExitCode.UNUSABLE_INPUT : ExitCode.FAILURE;
  }

  private static String message(Exception exception) {
    return exception instanceof NoSuchFileException
        ? "no such file: " + exception.getMessage()
        : exception.getMessage();
  }
}
