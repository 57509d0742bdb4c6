package org.chervillift.core.tasks.vms;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.chervillift.core.tasks.vms.PoolPlanner.Move;

/**
 * Decides which VMs of evacuated data centres go to standby.
 *
 * <p>An evacuation leaves a third of the VMs of each pool idle, for as long as it lasts. They can
 * run nothing and cost as much as before. The last VM of a kind stays in its pool: no pool gets a
 * VM of a certain kind back, and tasks that need it would wait for ever after the evacuation.
 */
public final class EvacuatedVms {

    /** The recent orders of a holder are in one row of the store; these take a twentieth of it. */
    private static final int MAX_MOVES_PER_ROUND = 20;

    private EvacuatedVms() {}

    /**
     * Decides which VMs move now.
     *
     * @param vms all VMs
     * @param standby the pools whose VMs are off
     * @param mayMove whether a VM may be moved now
     */
    public static List<Move> decide(
            Collection<VmView> vms, Set<String> standby, Predicate<VmView> mayMove) {
        Optional<String> target = standby.stream().min(Comparator.naturalOrder());
        if (target.isEmpty() || vms.stream().noneMatch(VmView::evacuated)) {
            return List.of();
        }
        Map<VmKind, Long> left =
                vms.stream().collect(Collectors.groupingBy(VmKind::of, Collectors.counting()));
        List<Move> moves = new ArrayList<>();
        for (VmView view : vms) {
            String pool = view.vm().pool();
            boolean canLeave =
                    moves.size() < MAX_MOVES_PER_ROUND
                            && view.evacuated()
                            && view.isUpWithoutOrder()
                            && view.load().isIdle()
                            && !standby.contains(pool)
                            && left.get(VmKind.of(view)) > 1
                            && mayMove.test(view);
            if (canLeave) {
                left.merge(VmKind.of(view), -1L, Long::sum);
                moves.add(new Move(view.vm().name(), pool, target.get()));
            }
        }
        return moves;
    }
}
