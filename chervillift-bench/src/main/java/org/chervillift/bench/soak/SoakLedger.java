package org.chervillift.bench.soak;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import org.chervillift.api.Verdict;
import org.chervillift.daemon.requests.CallerResponse;
import org.chervillift.daemon.requests.UpstreamResponse;

/** Counts what ran and what was answered, and fails as soon as an invariant breaks. */
final class SoakLedger {

    private static final Duration GRACE = Duration.ofMillis(100);

    private final long seed;
    private final Map<Long, Call> calls = new HashMap<>();
    private final Map<String, Integer> runsOfOperation = new HashMap<>();
    private final Map<String, Long> counts = new TreeMap<>();

    SoakLedger(long seed) {
        this.seed = seed;
    }

    /** Returns how often each kind of thing happened. */
    Map<String, Long> counts() {
        return counts;
    }

    void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    void require(boolean holds, String what) {
        if (!holds) {
            throw new SoakFault(seed, what);
        }
    }

    void called(Call call) {
        calls.put(call.tag, call);
        count("calls");
    }

    /** Takes in that an upstream runs a call. */
    void ran(long tag) {
        Call call = calls.get(tag);
        call.runs++;
        int runs = runsOfOperation.merge(call.operation, 1, Integer::sum);
        require(call.idempotent || runs <= 1, call + " ran " + runs + " times");
        require(!call.saidNotRun, call + " ran after not-run was said");
        count("runs");
    }

    /** Takes in the answer to a call. */
    void answered(long tag, CallerResponse answer, Instant now, boolean undisturbed) {
        Call call = calls.get(tag);
        call.answers++;
        require(call.answers == 1, call + " was answered " + call.answers + " times");
        require(
                !undisturbed || !now.isAfter(call.deadline.plus(GRACE)),
                call + " was answered after its deadline");
        switch (answer) {
            case CallerResponse.FromUpstream p -> passed(call, p.reply());
            case CallerResponse.Generated s -> said(call, s);
        }
    }

    private void passed(Call call, UpstreamResponse reply) {
        String body = new String(reply.body(), StandardCharsets.UTF_8);
        require(body.equals(bodyOf(call)), call + " was answered with " + body);
        require(runsOfOperation.getOrDefault(call.operation, 0) > 0, call + " did not run");
        count("verdict.completed");
    }

    private void said(Call call, CallerResponse.Generated said) {
        count("verdict." + said.verdict().word());
        count("code." + said.code().number());
        if (said.verdict() instanceof Verdict.NotRun) {
            call.saidNotRun = true;
            require(call.runs == 0, call + " ran, and not-run was said");
            boolean noneRan = said.earlier() == CallerResponse.EarlierCalls.NONE_RAN;
            int runs = runsOfOperation.getOrDefault(call.operation, 0);
            require(!noneRan || runs == 0, call + ": none-ran was said after " + runs + " runs");
        }
    }

    /** Returns what an upstream answers to a call: the same for each call of an operation. */
    byte[] replyTo(long tag) {
        return bodyOf(calls.get(tag)).getBytes(StandardCharsets.UTF_8);
    }

    private static String bodyOf(Call call) {
        return call.operation + ":" + call.content;
    }

    /** Checks at the end that no call was left without an answer. */
    void close() {
        for (Call c : calls.values()) {
            require(c.answers == 1 || c.cut, c + " has no answer");
        }
        require(counts.getOrDefault("verdict.completed", 0L) > 0, "nothing was completed");
    }

    /** One call of a caller. */
    static final class Call {
        final long tag;
        final String operation;
        final String content;
        final boolean idempotent;
        final Instant deadline;
        int runs;
        int answers;
        boolean saidNotRun;
        boolean cut;

        Call(long tag, String operation, String content, boolean idempotent, Instant deadline) {
            this.tag = tag;
            this.operation = operation;
            this.content = content;
            this.idempotent = idempotent;
            this.deadline = deadline;
        }

        @Override
        public String toString() {
            return "call " + tag + " of " + operation;
        }
    }
}
