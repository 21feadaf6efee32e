package switchgap.router;

/** Is told, once, how a call that was taken ended. */
public interface Asker {
    /** The one final answer. */
    void answered(Call c, Answer a);

    /** The limit passed while the router could not act: nothing may be sent any more. */
    void overdue(Call c);
}
