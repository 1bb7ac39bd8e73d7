package olivechute.proxy;

import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A {@link ClientStream} that records each answer after a prefix, and whose client can be marked as disconnected. */
public final class AnswerLog implements ClientStream {
    public final List<String> answers;
    public volatile boolean clientPresent = true;
    private final String prefix;

    /** Creates a log with its own list and no prefix. */
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
        answers.add(prefix + "rejected");
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
