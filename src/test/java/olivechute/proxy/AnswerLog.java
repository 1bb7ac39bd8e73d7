package olivechute.proxy;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A client's side that writes down how its stream was answered, each after a prefix, and may be said to have left. */
public final class AnswerLog implements ClientStream {
    public final List<String> answers;
    public volatile boolean clientPresent = true;
    private final String prefix;

    /** With a list of its own. */
    public AnswerLog() {
        this("", new CopyOnWriteArrayList<>());
    }

    public AnswerLog(String prefix, List<String> answers) {
        this.prefix = prefix;
        this.answers = answers;
    }

    @Override
    public void sendResult(byte[] result) {
        answers.add(prefix + "served");
    }

    @Override
    public void sendRejection(long retryAfter) {
        answers.add(prefix + "refused");
    }

    @Override
    public void sendFailure() {
        answers.add(prefix + "failed");
    }

    @Override
    public void sendDuplicateId() {
        answers.add(prefix + "duplicate");
    }

    @Override
    public boolean isPresent() {
        return clientPresent;
    }
}
