package org.chervillift.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

class RouterTest {

    private static final String POOL = "render";
    private static final Instant START = Instant.EPOCH;
    private static final Duration HOLD = RoutingSettings.DEFAULT.addedSlotDelay();

    private final Random random = new Random(5);

    @Property(seed = "31", tries = 300)
    void partsOfAnUpstreamAddUpToItsSlots(
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @IntRange(min = 1, max = 20) int vms) {
        List<String> ids = IntStream.range(0, vms).mapToObj(i -> "vm-" + i).toList();

        int sum = ids.stream().mapToInt(vm -> SlotShares.share("u", slots, vm, ids)).sum();

        assertThat(sum).isEqualTo(slots);
    }

    @Property(seed = "32", tries = 100)
    void takesNoMoreThanItsPartWhateverEnds(@ForAll long seed) {
        Random draw = new Random(seed);
        Router router = new Router(RoutingSettings.DEFAULT, "vm-0", "a");
        router.update(upstreams(3), entryVms(2), START, START);
        Instant now = START.plus(HOLD);
        List<String> running = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            if (draw.nextBoolean() || running.isEmpty()) {
                if (router.choose(POOL, Set.of(), draw, now)
                        instanceof RoutingDecision.ToUpstream u) {
                    running.add(u.upstream().id());
                }
            } else {
                router.attemptEnded(
                        running.remove(draw.nextInt(running.size())),
                        new UpstreamResult.Succeeded(),
                        draw,
                        now);
            }
            now = now.plusMillis(draw.nextInt(20));
            for (Upstream u : upstreams(3)) {
                int part = SlotShares.share(u.id(), u.slots(), "vm-0", List.of("vm-0", "vm-1"));
                assertThat(running.stream().filter(u.id()::equals).count())
                        .isLessThanOrEqualTo(part);
            }
        }
    }

    @Test
    void aSlotThatMovedHereStaysUnusedForTheHold() {
        Router router = new Router(RoutingSettings.DEFAULT, "vm-0", "a");
        router.update(upstreams(1), entryVms(2), START, START);
        router.update(upstreams(1), entryVms(2), START, START.plus(HOLD));

        router.update(upstreams(1), entryVms(1), START, START.plus(HOLD));

        assertThat(router.slotsInPool(POOL, START.plus(HOLD))).isEqualTo(4);
        assertThat(router.slotsInPool(POOL, START.plus(HOLD).plus(HOLD))).isEqualTo(8);
    }

    @Test
    void aLeavingUpstreamGetsNothingFromTheMomentOfItsWordOrTheList() {
        Router router = alone(3);

        router.markLeaving("u0", START);
        List<Upstream> listed = new ArrayList<>(upstreams(3));
        listed.set(1, new Upstream("u1", POOL, "a", "127.0.0.1:1", 8, true));
        router.update(listed, entryVms(1), START, START);

        assertThat(fill(router, START)).containsOnly("u2");
        assertThat(router.mayStart("u0", START)).isFalse();
        assertThat(router.mayStart("u1", START)).isFalse();
    }

    @Test
    void aPausedProcessSendsNothingUntilItReadTheListAnew() {
        Router router = alone(1);
        router.tick(START);
        Instant woken = START.plusSeconds(20);

        boolean beforeTick = router.mayStart("u0", woken);
        router.tick(woken);
        router.update(upstreams(1), entryVms(1), START, woken);
        boolean afterOldList = router.mayStart("u0", woken);
        router.update(upstreams(1), entryVms(1), woken, woken);

        assertThat(beforeTick).isFalse();
        assertThat(afterOldList).isFalse();
        assertThat(router.mayStart("u0", woken)).isTrue();
    }

    @Test
    void aFailingUpstreamThatAnswersFastGetsOnlyTrials() {
        Router router = alone(3);
        int toFailing = 0;
        Instant now = START;
        for (int i = 0; i < 6_000; i++) {
            now = now.plusMillis(10);
            RoutingDecision.ToUpstream c =
                    (RoutingDecision.ToUpstream) router.choose(POOL, Set.of(), random, now);
            boolean failing = c.upstream().id().equals("u0");
            toFailing += failing ? 1 : 0;
            UpstreamResult end =
                    failing ? new UpstreamResult.ServerFailure() : new UpstreamResult.Succeeded();
            router.attemptEnded(c.upstream().id(), end, random, now);
        }

        assertThat(toFailing).isLessThanOrEqualTo(20);
    }

    @Test
    void aFailureThatAllShareEjectsNone() {
        Router router = alone(3);
        for (int i = 0; i < 300; i++) {
            RoutingDecision.ToUpstream c =
                    (RoutingDecision.ToUpstream) router.choose(POOL, Set.of(), random, START);
            router.attemptEnded(
                    c.upstream().id(), new UpstreamResult.ServerFailure(), random, START);
        }

        assertThat(router.slotsInPool(POOL, START)).isEqualTo(24);
    }

    @Test
    void aLostAttemptKeepsItsSlotUntilItsBound() {
        Router router = alone(1);
        fill(router, START);

        router.attemptEnded(
                "u0", new UpstreamResult.ResponseLost(START.plusSeconds(9)), random, START);

        assertThat(router.freeSlotsInPool(POOL, START.plusSeconds(8))).isZero();
        assertThat(router.freeSlotsInPool(POOL, START.plusSeconds(9))).isEqualTo(1);
    }

    @Test
    void aNewListKeepsTheSlotsWhileWorkRuns() {
        Router router = alone(2);
        router.choose(POOL, Set.of(), random, START);

        router.update(upstreams(2), entryVms(1), START, START);

        assertThat(router.slotsInPool(POOL, START)).isEqualTo(16);
    }

    @Test
    void workAtAnUpstreamThatLeavesTheListStillCountsWhenItComesBack() {
        Router router = alone(1);
        fill(router, START);

        router.update(List.of(), entryVms(1), START, START);
        router.update(upstreams(1), entryVms(1), START, START);

        assertThat(router.freeSlotsInPool(POOL, START.plus(HOLD))).isZero();
    }

    private static Router alone(int upstreams) {
        Router router = new Router(RoutingSettings.DEFAULT, "vm-0", "a");
        router.update(upstreams(upstreams), entryVms(1), START, START);
        return router;
    }

    private List<String> fill(Router router, Instant now) {
        List<String> chosen = new ArrayList<>();
        while (router.choose(POOL, Set.of(), random, now) instanceof RoutingDecision.ToUpstream u) {
            chosen.add(u.upstream().id());
        }
        return chosen;
    }

    private static List<Upstream> upstreams(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new Upstream("u" + i, POOL, "a", "127.0.0.1:1", 8, false))
                .toList();
    }

    private static List<EntryVm> entryVms(int count) {
        return IntStream.range(0, count)
                .mapToObj(i -> new EntryVm("vm-" + i, "a", "127.0.0.1:2"))
                .toList();
    }
}
