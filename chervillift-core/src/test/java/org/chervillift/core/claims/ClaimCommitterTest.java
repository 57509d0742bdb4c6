package org.chervillift.core.claims;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Test;

class ClaimCommitterTest {

    private static final Instant START = Instant.EPOCH;
    private static final ClaimKey KEY = ClaimKey.ofTeam("alpha", "r1");

    private final ClaimCommitter committer = new ClaimCommitter(ClaimSettings.DEFAULT, "vm-0");

    @Test
    void resendsTheSameTransactionAfterALostReply() {
        ClaimAction.CommitClaims sent =
                firstCommit(requestClaim(1, "d", START.plusSeconds(2), START));

        committer.onNoReply(sent.groupNumber(), START.plusSeconds(1));
        ClaimAction.CommitClaims resent = firstCommit(committer.tick(START.plusMillis(1_500)));
        List<ClaimAction> actions =
                committer.onCommitted(sent.groupNumber(), START.plusMillis(1_600));

        assertThat(resent).isEqualTo(sent);
        assertThat(actions)
                .containsExactly(
                        new ClaimAction.Reply(
                                1,
                                new ClaimAnswer.Granted(),
                                Optional.of(sent.claims().getFirst())));
    }

    @Test
    void releasesAClaimCommittedAfterTheDeadline() {
        ClaimAction.CommitClaims sent =
                firstCommit(requestClaim(1, "d", START.plusSeconds(2), START));

        List<ClaimAction> afterDeadline = committer.tick(START.plusSeconds(3));
        List<ClaimAction> afterCommit =
                committer.onCommitted(sent.groupNumber(), START.plusSeconds(4));

        assertThat(afterDeadline)
                .containsExactly(replyWithoutClaim(1, new ClaimAnswer.Unavailable()));
        assertThat(afterCommit)
                .singleElement()
                .isInstanceOfSatisfying(
                        ClaimAction.CommitCompletions.class,
                        e -> assertThat(e.completions().getFirst().outcome()).isEmpty());
    }

    @Test
    void contentMismatchRevealsNothingOfTheFirstRequest() {
        ClaimAction.CommitClaims group =
                firstCommit(requestClaim(1, "other", START.plusSeconds(2), START));
        StoredClaim stored =
                new StoredClaim(
                        new Claim(KEY, "d", "vm-1", START),
                        Optional.of(new ClaimOutcome.Answered(200, List.of(), "c2VjcmV0")));

        committer.onConflict(group.groupNumber(), START);

        assertThat(committer.onClaimsRead(group.groupNumber(), List.of(stored), START))
                .containsExactly(replyWithoutClaim(1, new ClaimAnswer.ContentMismatch()));
    }

    @Test
    void aRepeatLearnsThatTheFirstRequestIsNotCompleted() {
        ClaimAction.CommitClaims group =
                firstCommit(requestClaim(1, "d", START.plusSeconds(2), START));
        committer.onConflict(group.groupNumber(), START);
        StoredClaim stored = new StoredClaim(new Claim(KEY, "d", "vm-1", START), Optional.empty());

        assertThat(
                        committer.onClaimsRead(
                                group.groupNumber(), List.of(stored), START.plusSeconds(1)))
                .containsExactly(
                        replyWithoutClaim(
                                1,
                                new ClaimAnswer.NotCompleted(Optional.of(Duration.ofSeconds(1)))));
    }

    @Test
    void refusesImmediatelyWhileTheStoreIsDown() {
        ClaimAction.CommitClaims group =
                firstCommit(requestClaim(1, "d", START.plusSeconds(2), START));
        committer.onNoReply(group.groupNumber(), START.plusSeconds(1));
        committer.tick(START.plusMillis(1_500));
        committer.onNoReply(group.groupNumber(), START.plusSeconds(2));

        List<ClaimAction> next =
                committer.requestClaim(
                        2,
                        ClaimKey.ofTeam("alpha", "r2"),
                        "d",
                        START.plusSeconds(9),
                        START.plusSeconds(2));

        assertThat(next).containsExactly(replyWithoutClaim(2, new ClaimAnswer.Unavailable()));
    }

    @Test
    void commitRateStaysWithinTheShareOfTheFleetRate() {
        committer.setLiveEntryVms(8);
        int commits = 0;
        for (int i = 0; i < 10_000; i++) {
            Instant now = START.plusMillis(i);
            ClaimKey key = ClaimKey.ofTeam("alpha", "n" + i);
            for (ClaimAction a : committer.requestClaim(i, key, "d", now.plusSeconds(5), now)) {
                if (a instanceof ClaimAction.CommitClaims c) {
                    commits++;
                    committer.onCommitted(c.groupNumber(), now);
                }
            }
        }

        assertThat(commits).isBetween(200, 251);
    }

    /** Three committers share one store that delays or loses requests and replies. */
    @Property(seed = "41", tries = 200)
    void aClaimHasAtMostOneHolder(@ForAll long seed) {
        new UnreliableStoreSimulation(new Random(seed)).run();
    }

    private List<ClaimAction> requestClaim(
            long correlationId, String digest, Instant replyDeadline, Instant now) {
        return committer.requestClaim(correlationId, KEY, digest, replyDeadline, now);
    }

    private static ClaimAction.CommitClaims firstCommit(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.CommitClaims.class::isInstance)
                .map(ClaimAction.CommitClaims.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static ClaimAction.Reply replyWithoutClaim(long correlationId, ClaimAnswer answer) {
        return new ClaimAction.Reply(correlationId, answer, Optional.empty());
    }

    private static final class UnreliableStoreSimulation {
        private final Random random;
        private final Map<ClaimKey, Claim> storedClaims = new HashMap<>();
        private final Map<String, Boolean> outcomeByToken = new HashMap<>();
        private final Set<ClaimKey> heldKeys = new HashSet<>();
        private final List<Call> callsInFlight = new ArrayList<>();
        private final List<ClaimCommitter> committers = new ArrayList<>();
        private Instant now = START;
        private int grantedCount;

        UnreliableStoreSimulation(Random random) {
            this.random = random;
            for (int i = 0; i < 3; i++) {
                committers.add(new ClaimCommitter(ClaimSettings.DEFAULT, "vm-" + i));
            }
        }

        void run() {
            for (int i = 0; i < 400; i++) {
                now = now.plusMillis(random.nextInt(100));
                int vm = random.nextInt(committers.size());
                ClaimKey key = ClaimKey.ofTeam("alpha", "k" + random.nextInt(6));
                Instant replyDeadline = now.plusMillis(random.nextInt(2_000));
                perform(vm, committers.get(vm).requestClaim(i, key, "d", replyDeadline, now));
                committers.forEach(c -> perform(committers.indexOf(c), c.tick(now)));
                deliverCalls();
            }
            assertThat(grantedCount).isPositive();
        }

        private void perform(int vm, List<ClaimAction> actions) {
            for (ClaimAction a : actions) {
                if (a instanceof ClaimAction.Reply r) {
                    r.claim().ifPresent(c -> hold(vm, c));
                } else {
                    callsInFlight.add(new Call(vm, a));
                }
            }
        }

        private void hold(int vm, Claim claim) {
            grantedCount++;
            assertThat(heldKeys.add(claim.key())).as("claim is held by one request only").isTrue();
            if (random.nextBoolean()) {
                heldKeys.remove(claim.key());
                perform(vm, committers.get(vm).complete(claim, Optional.empty(), now));
            }
        }

        /** Delivers calls in any order: some never, some twice, and some replies are lost. */
        private void deliverCalls() {
            int calls = random.nextInt(3);
            for (int i = 0; i < calls && !callsInFlight.isEmpty(); i++) {
                Call call = callsInFlight.remove(random.nextInt(callsInFlight.size()));
                boolean arrives = random.nextInt(5) > 0;
                boolean replies = arrives && random.nextInt(4) > 0;
                Runnable reply = arrives ? applyToStore(call) : () -> {};
                if (arrives && random.nextInt(6) == 0) {
                    callsInFlight.add(call);
                }
                if (replies) {
                    reply.run();
                } else {
                    perform(call.vm, committers.get(call.vm).onNoReply(call.groupNumber(), now));
                }
            }
        }

        private Runnable applyToStore(Call call) {
            ClaimCommitter committer = committers.get(call.vm);
            return switch (call.action) {
                case ClaimAction.CommitClaims c -> {
                    boolean ok =
                            outcomeByToken.computeIfAbsent(
                                    call.token(), t -> insertIfAbsent(c.claims()));
                    yield () ->
                            perform(
                                    call.vm,
                                    ok
                                            ? committer.onCommitted(c.groupNumber(), now)
                                            : committer.onConflict(c.groupNumber(), now));
                }
                case ClaimAction.CommitCompletions e -> {
                    outcomeByToken.computeIfAbsent(call.token(), t -> remove(e.completions()));
                    yield () -> perform(call.vm, committer.onCommitted(e.groupNumber(), now));
                }
                case ClaimAction.ReadClaims r -> {
                    List<StoredClaim> found =
                            r.claims().stream()
                                    .map(c -> storedClaims.get(c.key()))
                                    .filter(c -> c != null)
                                    .map(c -> new StoredClaim(c, Optional.empty()))
                                    .toList();
                    yield () ->
                            perform(call.vm, committer.onClaimsRead(r.groupNumber(), found, now));
                }
                case ClaimAction.Reply r -> () -> {};
            };
        }

        private boolean insertIfAbsent(List<Claim> claims) {
            if (claims.stream().anyMatch(c -> storedClaims.containsKey(c.key()))) {
                return false;
            }
            claims.forEach(c -> storedClaims.put(c.key(), c));
            return true;
        }

        private boolean remove(List<ClaimAction.Completion> completions) {
            completions.forEach(e -> storedClaims.remove(e.claim().key()));
            return true;
        }
    }

    private record Call(int vm, ClaimAction action) {
        long groupNumber() {
            return switch (action) {
                case ClaimAction.CommitClaims c -> c.groupNumber();
                case ClaimAction.CommitCompletions e -> e.groupNumber();
                case ClaimAction.ReadClaims r -> r.groupNumber();
                case ClaimAction.Reply r -> 0;
            };
        }

        String token() {
            return vm + "/" + groupNumber();
        }
    }
}
