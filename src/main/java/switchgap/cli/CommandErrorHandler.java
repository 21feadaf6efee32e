package switchgap.cli;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import picocli.CommandLine;
import picocli.CommandLine.IExecutionExceptionHandler;
import picocli.CommandLine.ParseResult;
import switchgap.config.InvalidConfigException;

/**
 * Prints why a command ended with an exception, with a stack trace only where the cause is not the
 * input.
 */
final class CommandErrorHandler implements IExecutionExceptionHandler {
  @Override
  public int handleExecutionException(
      Exception exception, CommandLine command, ParseResult parsed) {
    boolean expected =
        exception instanceof InvalidConfigException || exception instanceof IOException;
    String text = expected ? message(exception) : exception.toString();
    command.getErr().println("switchgap: " + text);
    if (!expected) {
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
