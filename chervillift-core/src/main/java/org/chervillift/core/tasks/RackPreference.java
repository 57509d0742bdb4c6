package org.chervillift.core.tasks;

import java.util.List;

/**
 * Which racks a task of a step goes to first.
 *
 * @param remoteFactor how many times as long it runs away from the rack of its data
 * @param order the racks that come before all others, the first one first; empty if it is all one
 */
record RackPreference(double remoteFactor, List<String> order) {
    RackPreference {
        order = List.copyOf(order);
    }

    /** Returns the position of a rack; racks that are not named come last. */
    int positionOf(String rack) {
        int position = order.indexOf(rack);
        return position < 0 ? order.size() : position;
    }
}
