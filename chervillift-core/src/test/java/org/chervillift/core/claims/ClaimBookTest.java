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

class ClaimBookTest {

    private static final Instant START = Instant.EPOCH;
    private static final ClaimKey KEY = ClaimKey.ofTeam("alpha", "r1");

    private final ClaimBook book = new ClaimBook(ClaimSettings.DEFAULT, "vm-0");

    @Test
    void aLostReplyIsSettledByTheSameTransaction() {
        ClaimAction.CommitClaims first = commit(ask(1, "d", START.plusSeconds(2), START));

        book.failed(first.group(), START.plusSeconds(1));
        ClaimAction.CommitClaims again = commit(book.tick(START.plusMillis(1_500)));
        List<ClaimAction> told = book.committed(first.group(), START.plusMillis(1_600));

        assertThat(again).isEqualTo(first);
        assertThat(told)
                .containsExactly(
                        new ClaimAction.Tell(
                                1,
                                new ClaimAnswer.Granted(),
                                Optional.of(first.claims().getFirst())));
    }

    @Test
    void aClaimThatCameTooLateIsNotUsedAndGivenBack() {
        ClaimAction.CommitClaims first = commit(ask(1, "d", START.plusSeconds(2), START));

        List<ClaimAction> late = book.tick(START.plusSeconds(3));
        List<ClaimAction> after = book.committed(first.group(), START.plusSeconds(4));

        assertThat(late).containsExactly(told(1, new ClaimAnswer.Unavailable()));
        assertThat(after)
                .singleElement()
                .isInstanceOfSatisfying(
                        ClaimAction.CommitEnds.class,
                        e -> assertThat(e.ends().getFirst().outcome()).isEmpty());
    }

    @Test
    void otherContentIsToldNothingOfTheFirst() {
        ClaimAction.CommitClaims group = commit(ask(1, "other", START.plusSeconds(2), START));
        StoredClaim stored =
                new StoredClaim(
                        new Claim(KEY, "d", "vm-1", START),
                        Optional.of(new Outcome.Answered(200, List.of(), "c2VjcmV0")));

        book.conflict(group.group(), START);

        assertThat(book.read(group.group(), List.of(stored), START))
                .containsExactly(told(1, new ClaimAnswer.OtherContent()));
    }

    @Test
    void aRepeatIsToldThatTheFirstHasNotEnded() {
        ClaimAction.CommitClaims group = commit(ask(1, "d", START.plusSeconds(2), START));
        book.conflict(group.group(), START);
        StoredClaim stored = new StoredClaim(new Claim(KEY, "d", "vm-1", START), Optional.empty());

        assertThat(book.read(group.group(), List.of(stored), START.plusSeconds(1)))
                .containsExactly(
                        told(1, new ClaimAnswer.Unended(Optional.of(Duration.ofSeconds(1)))));
    }

    @Test
    void refusesAtOnceWhileTheStoreIsDown() {
        ClaimAction.CommitClaims group = commit(ask(1, "d", START.plusSeconds(2), START));
        book.failed(group.group(), START.plusSeconds(1));
        book.tick(START.plusMillis(1_500));
        book.failed(group.group(), START.plusSeconds(2));

        List<ClaimAction> next =
                book.ask(
                        2,
                        ClaimKey.ofTeam("alpha", "r2"),
                        "d",
                        START.plusSeconds(9),
                        START.plusSeconds(2));

        assertThat(next).containsExactly(told(2, new ClaimAnswer.Unavailable()));
    }

    @Test
    void transactionsStayWithinTheShareOfTheFleetsRate() {
        book.setLiveEntryVms(8);
        int commits = 0;
        for (int i = 0; i < 10_000; i++) {
            Instant now = START.plusMillis(i);
            ClaimKey key = ClaimKey.ofTeam("alpha", "n" + i);
            for (ClaimAction a : book.ask(i, key, "d", now.plusSeconds(5), now)) {
                if (a instanceof ClaimAction.CommitClaims c) {
                    commits++;
                    book.committed(c.group(), now);
                }
            }
        }

        assertThat(commits).isBetween(200, 251);
    }

    /** Many books, one store that loses requests and replies and delays both. */
    @Property(seed = "41", tries = 200)
    void noTwoHoldAClaimAtOnce(@ForAll long seed) {
        new Race(new Random(seed)).run();
    }

    private List<ClaimAction> ask(long ticket, String digest, Instant by, Instant now) {
        return book.ask(ticket, KEY, digest, by, now);
    }

    private static ClaimAction.CommitClaims commit(List<ClaimAction> actions) {
        return actions.stream()
                .filter(ClaimAction.CommitClaims.class::isInstance)
                .map(ClaimAction.CommitClaims.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static ClaimAction.Tell told(long ticket, ClaimAnswer answer) {
        return new ClaimAction.Tell(ticket, answer, Optional.empty());
    }

    private static final class Race {
        private final Random random;
        private final Map<ClaimKey, Claim> store = new HashMap<>();
        private final Map<String, Boolean> outcomes = new HashMap<>();
        private final Set<ClaimKey> held = new HashSet<>();
        private final List<Call> wire = new ArrayList<>();
        private final List<ClaimBook> books = new ArrayList<>();
        private Instant now = START;
        private int granted;

        Race(Random random) {
            this.random = random;
            for (int i = 0; i < 3; i++) {
                books.add(new ClaimBook(ClaimSettings.DEFAULT, "vm-" + i));
            }
        }

        void run() {
            for (int i = 0; i < 400; i++) {
                now = now.plusMillis(random.nextInt(100));
                int vm = random.nextInt(books.size());
                ClaimKey key = ClaimKey.ofTeam("alpha", "k" + random.nextInt(6));
                Instant by = now.plusMillis(random.nextInt(2_000));
                carryOut(vm, books.get(vm).ask(i, key, "d", by, now));
                books.forEach(b -> carryOut(books.indexOf(b), b.tick(now)));
                deliver();
            }
            assertThat(granted).isPositive();
        }

        private void carryOut(int vm, List<ClaimAction> actions) {
            for (ClaimAction a : actions) {
                if (a instanceof ClaimAction.Tell t) {
                    t.claim().ifPresent(c -> hold(vm, c));
                } else {
                    wire.add(new Call(vm, a));
                }
            }
        }

        private void hold(int vm, Claim claim) {
            granted++;
            assertThat(held.add(claim.key())).as("held by one").isTrue();
            if (random.nextBoolean()) {
                held.remove(claim.key());
                carryOut(vm, books.get(vm).end(claim, Optional.empty(), now));
            }
        }

        /** Calls arrive in any order; some never, some twice, and some replies are lost. */
        private void deliver() {
            int calls = random.nextInt(3);
            for (int i = 0; i < calls && !wire.isEmpty(); i++) {
                Call call = wire.remove(random.nextInt(wire.size()));
                boolean arrives = random.nextInt(5) > 0;
                boolean replies = arrives && random.nextInt(4) > 0;
                Runnable reply = arrives ? arrive(call) : () -> {};
                if (arrives && random.nextInt(6) == 0) {
                    wire.add(call);
                }
                if (replies) {
                    reply.run();
                } else {
                    carryOut(call.vm, books.get(call.vm).failed(call.group(), now));
                }
            }
        }

        private Runnable arrive(Call call) {
            ClaimBook book = books.get(call.vm);
            return switch (call.action) {
                case ClaimAction.CommitClaims c -> {
                    boolean ok = outcomes.computeIfAbsent(call.token(), t -> insert(c.claims()));
                    yield () ->
                            carryOut(
                                    call.vm,
                                    ok
                                            ? book.committed(c.group(), now)
                                            : book.conflict(c.group(), now));
                }
                case ClaimAction.CommitEnds e -> {
                    outcomes.computeIfAbsent(call.token(), t -> remove(e.ends()));
                    yield () -> carryOut(call.vm, book.committed(e.group(), now));
                }
                case ClaimAction.ReadClaims r -> {
                    List<StoredClaim> found =
                            r.claims().stream()
                                    .map(c -> store.get(c.key()))
                                    .filter(c -> c != null)
                                    .map(c -> new StoredClaim(c, Optional.empty()))
                                    .toList();
                    yield () -> carryOut(call.vm, book.read(r.group(), found, now));
                }
                case ClaimAction.Tell t -> () -> {};
            };
        }

        private boolean insert(List<Claim> claims) {
            if (claims.stream().anyMatch(c -> store.containsKey(c.key()))) {
                return false;
            }
            claims.forEach(c -> store.put(c.key(), c));
            return true;
        }

        private boolean remove(List<ClaimAction.End> ends) {
            ends.forEach(e -> store.remove(e.claim().key()));
            return true;
        }
    }

    private record Call(int vm, ClaimAction action) {
        long group() {
            return switch (action) {
                case ClaimAction.CommitClaims c -> c.group();
                case ClaimAction.CommitEnds e -> e.group();
                case ClaimAction.ReadClaims r -> r.group();
                case ClaimAction.Tell t -> 0;
            };
        }

        String token() {
            return vm + "/" + group();
        }
    }
}
