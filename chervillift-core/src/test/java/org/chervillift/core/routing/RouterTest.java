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
    private static final Duration ADDED_SLOT_DELAY = RoutingSettings.DEFAULT.addedSlotDelay();

    private final Random random = new Random(5);

    @Property(seed = "31", tries = 300)
    void sharesOfAnUpstreamAddUpToItsSlots(
            @ForAll @IntRange(min = 1, max = 64) int slots,
            @ForAll @IntRange(min = 1, max = 20) int vms) {
        List<String> ids = IntStream.range(0, vms).mapToObj(i -> "vm-" + i).toList();

        int sum = ids.stream().mapToInt(vm -> SlotShares.share("u", slots, vm, ids)).sum();

        assertThat(sum).isEqualTo(slots);
    }

    @Property(seed = "32", tries = 100)
    void neverTakesMoreSlotsThanItsShare(@ForAll long seed) {
        Random generator = new Random(seed);
        Router router = new Router(RoutingSettings.DEFAULT, "vm-0", "a");
        router.update(upstreams(3), entryVms(2), START, START);
        Instant now = START.plus(ADDED_SLOT_DELAY);
        List<String> running = new ArrayList<>();
        for (int i = 0; i < 300; i++) {
            if (generator.nextBoolean() || running.isEmpty()) {
                if (router.choose(POOL, Set.of(), generator, now)
                        instanceof RoutingDecision.ToUpstream u) {
                    running.add(u.upstream().id());
                }
            } else {
                router.attemptEnded(
                        running.remove(generator.nextInt(running.size())),
                        new UpstreamResult.Succeeded(),
                        generator,
                        now);
            }
            now = now.plusMillis(generator.nextInt(20));
            for (Upstream u : upstreams(3)) {
                int share = SlotShares.share(u.id(), u.slots(), "vm-0", List.of("vm-0", "vm-1"));
                assertThat(running.stream().filter(u.id()::equals).count())
                        .isLessThanOrEqualTo(share);
            }
        }
    }

    @Test
    void anAddedSlotIsUsableOnlyAfterTheDelay() {
        Router router = new Router(RoutingSettings.DEFAULT, "vm-0", "a");
        router.update(upstreams(1), entryVms(2), START, START);
        router.update(upstreams(1), entryVms(2), START, START.plus(ADDED_SLOT_DELAY));

        router.update(upstreams(1), entryVms(1), START, START.plus(ADDED_SLOT_DELAY));

        assertThat(router.slotsInPool(POOL, START.plus(ADDED_SLOT_DELAY))).isEqualTo(4);
        assertThat(router.slotsInPool(POOL, START.plus(ADDED_SLOT_DELAY).plus(ADDED_SLOT_DELAY)))
                .isEqualTo(8);
    }

    @Test
    void aLeavingUpstreamGetsNothingOnceItOrTheListSaysSo() {
        Router router = routerOfOnlyEntryVm(3);

        router.markLeaving("u0", START);
        List<Upstream> listed = new ArrayList<>(upstreams(3));
        listed.set(1, new Upstream("u1", POOL, "a", "127.0.0.1:1", 8, true));
        router.update(listed, entryVms(1), START, START);

        assertThat(takeAllSlots(router, START)).containsOnly("u2");
        assertThat(router.mayStart("u0", START)).isFalse();
        assertThat(router.mayStart("u1", START)).isFalse();
    }

    @Test
    void sendsNothingAfterAPauseUntilTheListIsReadAgain() {
        Router router = routerOfOnlyEntryVm(1);
        router.tick(START);
        Instant resumed = START.plusSeconds(20);

        boolean beforeTick = router.mayStart("u0", resumed);
        router.tick(resumed);
        router.update(upstreams(1), entryVms(1), START, resumed);
        boolean afterOldList = router.mayStart("u0", resumed);
        router.update(upstreams(1), entryVms(1), resumed, resumed);

        assertThat(beforeTick).isFalse();
        assertThat(afterOldList).isFalse();
        assertThat(router.mayStart("u0", resumed)).isTrue();
    }

    @Test
    void aFailingUpstreamThatAnswersFastGetsOnlyTrials() {
        Router router = routerOfOnlyEntryVm(3);
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
    void ejectsNoUpstreamWhenAllFail() {
        Router router = routerOfOnlyEntryVm(3);
        for (int i = 0; i < 300; i++) {
            RoutingDecision.ToUpstream c =
                    (RoutingDecision.ToUpstream) router.choose(POOL, Set.of(), random, START);
            router.attemptEnded(
                    c.upstream().id(), new UpstreamResult.ServerFailure(), random, START);
        }

        assertThat(router.slotsInPool(POOL, START)).isEqualTo(24);
    }

    @Test
    void anAttemptWithoutAnswerKeepsItsSlotUntilItsBound() {
        Router router = routerOfOnlyEntryVm(1);
        takeAllSlots(router, START);

        router.attemptEnded(
                "u0", new UpstreamResult.ResponseLost(START.plusSeconds(9)), random, START);

        assertThat(router.freeSlotsInPool(POOL, START.plusSeconds(8))).isZero();
        assertThat(router.freeSlotsInPool(POOL, START.plusSeconds(9))).isEqualTo(1);
    }

    @Test
    void aNewListKeepsTheSlotsWhileARequestRuns() {
        Router router = routerOfOnlyEntryVm(2);
        router.choose(POOL, Set.of(), random, START);

        router.update(upstreams(2), entryVms(1), START, START);

        assertThat(router.slotsInPool(POOL, START)).isEqualTo(16);
    }

    @Test
    void requestsAtADelistedUpstreamStillCountWhenItIsListedAgain() {
        Router router = routerOfOnlyEntryVm(1);
        takeAllSlots(router, START);

        router.update(List.of(), entryVms(1), START, START);
        router.update(upstreams(1), entryVms(1), START, START);

        assertThat(router.freeSlotsInPool(POOL, START.plus(ADDED_SLOT_DELAY))).isZero();
    }

    private static Router routerOfOnlyEntryVm(int upstreams) {
        Router router = new Router(RoutingSettings.DEFAULT, "vm-0", "a");
        router.update(upstreams(upstreams), entryVms(1), START, START);
        return router;
    }

    private List<String> takeAllSlots(Router router, Instant now) {
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
