package org.chervillift.core.tasks.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.chervillift.api.Checks;

/**
 * Chooses the entry VM to which a request is relayed.
 *
 * <p>The load: the store rejects the requests of a third of the entry VMs for some seconds and
 * serves the others. Peers of the same data centre come first, each in turn. A peer that failed is
 * skipped for a time that doubles; afterwards one request at a time tests it. While no peer can
 * serve requests, none is relayed ({@link RelayCircuit}). Not thread-safe.
 */
public final class RelayPeers {

    /** The most requests that are relayed at a time; bounds the memory for their bodies. */
    public static final int MAX_IN_FLIGHT = 32;

    /**
     * The most requests in flight to peers that have not answered of late, in all. If the store
     * goes silent for all entry VMs, only so many callers wait for peers that do not know it yet.
     */
    public static final int MAX_IN_FLIGHT_UNPROVEN = 4;

    /** The most known peers, which bounds the memory and the connections. */
    public static final int MAX_PEERS = 256;

    /** The most peers that are tried for a request. */
    public static final int MAX_TRIES = 2;

    /** The longest wait for the answer of a peer, in milliseconds. */
    public static final long MAX_TRY_MILLIS = 1_000;

    /** How long an answer of a peer lets many requests go there at a time, in milliseconds. */
    private static final long PROVEN_MILLIS = 2_000;

    /** A peer that reads and writes the store takes longer than this. */
    private static final long MIN_TRY_MILLIS = 20;

    private final String vm;
    private final String dataCentre;
    private final RelayCircuit circuit = new RelayCircuit();
    private final Map<String, PeerState> states = new HashMap<>();
    private List<PeerState> near = List.of();
    private List<PeerState> far = List.of();
    private int inFlight;
    private int turn;

    /** A peer, the requests that it is sent now, and how it has answered. */
    private static final class PeerState {
        private final RelayPeer peer;
        private RelayBackOff backOff = RelayBackOff.NONE;
        private long provenUntil = Long.MIN_VALUE;
        private int inFlight;

        PeerState(RelayPeer peer) {
            this.peer = peer;
        }

        boolean isProven(long now) {
            return now < provenUntil;
        }

        /** Returns whether it may be tried, but for its back-off. */
        boolean hasRoom() {
            return !backOff.isFailing() || inFlight == 0;
        }
    }

    /**
     * Creates a chooser that knows no peer.
     *
     * @param vm the name of the own VM
     * @param dataCentre its data centre
     */
    public RelayPeers(String vm, String dataCentre) {
        this.vm = Checks.notBlank("vm", vm);
        this.dataCentre = Checks.notBlank("dataCentre", dataCentre);
        // Entry VMs that start to relay together begin with different peers.
        this.turn = vm.hashCode();
    }

    /** Replaces the known peers; what is known of a peer that has not changed is kept. */
    public void update(Collection<RelayPeer> peers) {
        List<RelayPeer> others =
                peers.stream()
                        .filter(p -> !p.vm().equals(vm))
                        .sorted(Comparator.comparing(RelayPeer::vm))
                        .limit(MAX_PEERS)
                        .toList();
        Map<String, PeerState> former = Map.copyOf(states);
        states.clear();
        others.forEach(p -> states.put(p.vm(), keptOrNew(former.get(p.vm()), p)));
        near = statesOf(others.stream().filter(this::isNear).toList());
        far = statesOf(others.stream().filter(p -> !isNear(p)).toList());
    }

    private static PeerState keptOrNew(PeerState former, RelayPeer peer) {
        return former != null && former.peer.equals(peer) ? former : new PeerState(peer);
    }

    private boolean isNear(RelayPeer peer) {
        return peer.dataCentre().equals(dataCentre);
    }

    private List<PeerState> statesOf(List<RelayPeer> peers) {
        return peers.stream().map(p -> states.get(p.vm())).toList();
    }

    /** Returns the number of known peers. */
    public int peerCount() {
        return states.size();
    }

    /**
     * Chooses the peer to try next, if any, and records the start of the try.
     *
     * @param tried the VMs that were already tried for the request
     * @param callerUntil up to when the caller waits, in milliseconds
     */
    public Optional<RelayTry> choose(Set<String> tried, long callerUntil, long now) {
        long timeoutMillis = Math.min(MAX_TRY_MILLIS, callerUntil - now);
        boolean allowed =
                tried.size() < MAX_TRIES
                        && timeoutMillis >= MIN_TRY_MILLIS
                        && inFlight < MAX_IN_FLIGHT
                        && circuit.allowsTry(now);
        if (!allowed) {
            return Optional.empty();
        }
        boolean probe = circuit.isOpen();
        return next(near, tried, now)
                .or(() -> next(far, tried, now))
                .or(() -> probe ? soonestOver(tried) : Optional.empty())
                .map(state -> start(state, timeoutMillis, probe));
    }

    private Optional<PeerState> next(List<PeerState> group, Set<String> tried, long now) {
        for (int i = 0; i < group.size(); i++) {
            PeerState state = group.get(Math.floorMod(turn + i, group.size()));
            if (!tried.contains(state.peer.vm()) && isEligible(state, now)) {
                return Optional.of(state);
            }
        }
        return Optional.empty();
    }

    private boolean isEligible(PeerState state, long now) {
        return state.backOff.isOver(now)
                && state.hasRoom()
                && (state.isProven(now) || unprovenInFlight(now) < MAX_IN_FLIGHT_UNPROVEN);
    }

    private int unprovenInFlight(long now) {
        return states.values().stream()
                .filter(s -> !s.isProven(now))
                .mapToInt(s -> s.inFlight)
                .sum();
    }

    /** Returns the peer whose back-off ends first; a probe needs a peer although all failed. */
    private Optional<PeerState> soonestOver(Set<String> tried) {
        List<PeerState> all = new ArrayList<>(near);
        all.addAll(far);
        return all.stream()
                .filter(s -> !tried.contains(s.peer.vm()) && s.hasRoom())
                .min(Comparator.comparingLong(s -> s.backOff.until()));
    }

    private RelayTry start(PeerState state, long timeoutMillis, boolean probe) {
        turn++;
        inFlight++;
        state.inFlight++;
        circuit.recordStart(probe);
        return new RelayTry(state.peer, timeoutMillis, probe);
    }

    /** Records how a try ended. */
    public void recordResult(RelayTry tried, RelayResult result, long now) {
        boolean answered = result == RelayResult.ANSWERED;
        // A busy peer says nothing about whether the store answers it.
        circuit.recordResult(tried, answered || result == RelayResult.BUSY, states.size(), now);
        stateOf(tried)
                .ifPresent(
                        state -> {
                            state.provenUntil = answered ? now + PROVEN_MILLIS : now;
                            state.backOff =
                                    answered ? RelayBackOff.NONE : state.backOff.afterFailure(now);
                        });
    }

    /** Records that the connection of a try is no longer in use; may come after its result. */
    public void release(RelayTry tried) {
        inFlight--;
        // A peer whose row was gone for a while does not count the tries from before.
        stateOf(tried).ifPresent(state -> state.inFlight = Math.max(0, state.inFlight - 1));
    }

    private Optional<PeerState> stateOf(RelayTry tried) {
        return Optional.ofNullable(states.get(tried.peer().vm()))
                .filter(state -> state.peer.equals(tried.peer()));
    }
}
