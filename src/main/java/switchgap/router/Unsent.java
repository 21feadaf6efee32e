package switchgap.router;

import switchgap.port.End;

/** What a transport may say of an exchange that timed out: that no byte of it went out, and by what end. */
public interface Unsent {
    boolean unsent();

    End end();
}
