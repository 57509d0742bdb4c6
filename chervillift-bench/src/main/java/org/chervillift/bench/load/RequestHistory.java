package org.chervillift.bench.load;

import java.util.ArrayList;
import java.util.List;
import org.chervillift.api.Checks;

/** All attempts of one request, which share an identifier. Used by one thread. */
final class RequestHistory {

    private final String identifier;
    private final List<Attempt> attempts = new ArrayList<>();

    RequestHistory(String identifier) {
        this.identifier = Checks.notBlank("identifier", identifier);
    }

    String identifier() {
        return identifier;
    }

    void add(Attempt attempt) {
        attempts.add(attempt);
    }

    int size() {
        return attempts.size();
    }

    List<Attempt> attempts() {
        return List.copyOf(attempts);
    }

    boolean isCompleted() {
        return !attempts.isEmpty() && attempts.getLast() instanceof Attempt.Completed;
    }

    boolean wasAlwaysToldNotRun() {
        return attempts.stream().allMatch(a -> a instanceof Attempt.NotRun);
    }
}
