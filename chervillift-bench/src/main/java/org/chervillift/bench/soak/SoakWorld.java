package org.chervillift.bench.soak;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.chervillift.core.claims.ClaimKey;
import org.chervillift.core.requests.RequestFacts;
import org.chervillift.core.routing.EntryVm;
import org.chervillift.core.routing.Upstream;
import org.chervillift.daemon.requests.CallerResponse;
import org.chervillift.daemon.requests.Header;
import org.chervillift.daemon.requests.OutgoingRequest;
import org.chervillift.runtime.supervision.ManualScheduler;
import org.chervillift.runtime.supervision.Scheduler;

/** Two data centres, four entry VMs, six upstreams, a table service, callers and faults. */
final class SoakWorld {

    /** How old the list of VMs is. */
    static final Duration LIST_LAG = Duration.ofSeconds(2);

    private static final Duration LIST_PERIOD = Duration.ofSeconds(1);
    private static final Duration FAULT_PERIOD = Duration.ofSeconds(1);
    private static final Duration DRAIN = Duration.ofMinutes(2);
    private static final String POOL = "render";
    private static final String TAG = "X-Tag";
    private static final int SLOTS = 8;
    private static final int VMS = 4;
    private static final int UPSTREAMS = 6;
    private static final int FAULTS = 9;
    private static final int MOST_PAUSE_MILLIS = 8_000;
    private static final int MOST_DOWN_MILLIS = 4_000;
    private static final int MOST_GAP_MILLIS = 12;

    private final ManualScheduler scheduler = new ManualScheduler();
    private final Random random;
    private final SoakLedger ledger;
    private final SoakPlatform platform;
    private final SoakCallers callers;
    private final Map<String, SoakVm> vms = new LinkedHashMap<>();
    private final Map<String, SoakUpstream> upstreams = new LinkedHashMap<>();
    private final Map<Long, RequestFacts> facts = new HashMap<>();
    private boolean quiet;
    private int incarnations;

    SoakWorld(long seed, boolean keepsConditions) {
        random = new Random(seed);
        ledger = new SoakLedger(seed);
        platform = new SoakPlatform(scheduler, random, keepsConditions);
        callers = new SoakCallers(this);
        for (int i = 0; i < UPSTREAMS; i++) {
            String id = "up-" + i;
            Upstream u = new Upstream(id, POOL, dataCentre(i), "192.0.2.1:80", SLOTS, false);
            upstreams.put(id, new SoakUpstream(u, scheduler, random, ledger));
        }
        for (int i = 0; i < VMS; i++) {
            startVm(new EntryVm("vm-" + i, dataCentre(i), "192.0.2.2:80"));
        }
    }

    private static String dataCentre(int i) {
        return i % 2 == 0 ? "a" : "b";
    }

    private void startVm(EntryVm id) {
        vms.put(id.id(), new SoakVm(id, id.id() + "-" + incarnations++, this, random));
    }

    /** Runs, lets all end, and returns how often each kind of thing happened. */
    Map<String, Long> run(Duration time) {
        relist();
        scheduler.advance(Duration.ofSeconds(6));
        scheduler.schedule(Duration.ZERO, this::nextCall);
        scheduler.schedule(FAULT_PERIOD, this::nextFault);
        scheduler.advance(time);
        quiet = true;
        scheduler.advance(DRAIN);
        ledger.close();
        ledger.counts().put("store.commits", platform.commits());
        return ledger.counts();
    }

    private void nextCall() {
        if (quiet) {
            return;
        }
        callers.call();
        scheduler.schedule(Duration.ofMillis(random.nextInt(MOST_GAP_MILLIS)), this::nextCall);
    }

    private void relist() {
        Instant listTime = scheduler.now().minus(LIST_LAG);
        List<Upstream> listed = upstreams.values().stream().map(u -> u.listed(listTime)).toList();
        List<EntryVm> live = vms.values().stream().filter(SoakVm::isAlive).map(SoakVm::id).toList();
        vms.values().forEach(v -> v.update(listed, live));
        scheduler.schedule(LIST_PERIOD, this::relist);
    }

    private void nextFault() {
        if (quiet) {
            return;
        }
        SoakVm vm = anyVm();
        SoakUpstream up = upstreams.get("up-" + random.nextInt(UPSTREAMS));
        switch (random.nextInt(FAULTS)) {
            case 0 -> replace(vm);
            case 1 -> pause(vm);
            case 2 -> platformDown();
            case 3 -> up.setMode(SoakUpstream.Mode.DOWN);
            case 4 -> up.setMode(SoakUpstream.Mode.FAILS_FAST);
            case 5 -> up.setMode(SoakUpstream.Mode.LEAVING);
            default -> up.setMode(SoakUpstream.Mode.GOOD);
        }
        scheduler.schedule(FAULT_PERIOD, this::nextFault);
    }

    private void replace(SoakVm vm) {
        ledger.count("fault.kill");
        vm.kill();
        scheduler.schedule(Duration.ofSeconds(2), () -> startVm(vm.id()));
    }

    private void pause(SoakVm vm) {
        if (vm.isPaused()) {
            return;
        }
        ledger.count("fault.pause");
        vm.pause();
        scheduler.schedule(Duration.ofMillis(random.nextInt(MOST_PAUSE_MILLIS)), vm::resume);
    }

    private void platformDown() {
        ledger.count("fault.store-down");
        platform.setDown(true);
        Duration time = Duration.ofMillis(random.nextInt(MOST_DOWN_MILLIS));
        scheduler.schedule(time, () -> platform.setDown(false));
    }

    /** Sends a call to any entry VM that lives. */
    void send(SoakLedger.Call call, Optional<ClaimKey> key, SoakCallers.OnAnswer onAnswer) {
        ledger.called(call);
        SoakVm vm = anyVm();
        RequestFacts f =
                new RequestFacts(POOL, call.idempotent, key, call.content, false, call.deadline);
        facts.put(call.tag, f);
        Header tag = new Header(TAG, Long.toString(call.tag));
        OutgoingRequest out =
                new OutgoingRequest(
                        call.idempotent ? "GET" : "POST",
                        "q",
                        "/",
                        List.of(tag),
                        "team",
                        Optional.empty(),
                        "",
                        new byte[0]);
        vm.take(call.tag, f, out, a -> answered(vm, call, a, onAnswer));
    }

    private void answered(
            SoakVm vm, SoakLedger.Call call, CallerResponse answer, SoakCallers.OnAnswer onAnswer) {
        if (answer == null) {
            call.cut = true;
            ledger.count("cut");
        } else {
            ledger.answered(call.tag, answer, scheduler.now(), !vm.wasDisturbed());
        }
        onAnswer.accept(answer);
    }

    private SoakVm anyVm() {
        List<SoakVm> live = vms.values().stream().filter(SoakVm::isAlive).toList();
        return live.isEmpty()
                ? vms.values().iterator().next()
                : live.get(random.nextInt(live.size()));
    }

    RequestFacts relayedFacts(long tag, Instant until) {
        RequestFacts f = facts.get(tag);
        return new RequestFacts(
                f.pool(), f.idempotent(), Optional.empty(), f.digest(), true, until);
    }

    static long tagOf(OutgoingRequest request) {
        return Long.parseLong(request.headers().getFirst().value());
    }

    Scheduler scheduler() {
        return scheduler;
    }

    Random random() {
        return random;
    }

    SoakLedger ledger() {
        return ledger;
    }

    SoakPlatform platform() {
        return platform;
    }

    SoakUpstream upstream(String id) {
        return upstreams.get(id);
    }

    SoakVm vm(String id) {
        return vms.get(id);
    }
}
