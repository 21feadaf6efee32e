package switchgap.emulator;

import java.util.function.Consumer;

/** From where a worker fetches a function: tells true when it has it, false when refused, stopped or cut off. */
public interface FunctionFetcher {
    /** {@code micros}: how long the fetch takes alone. */
    void fetch(String worker, String function, long micros, Consumer<Boolean> then);
}
