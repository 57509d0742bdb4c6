package org.chervillift.daemon.tasks;

import java.util.OptionalLong;
import org.chervillift.api.Checks;

/**
 * The ages by which a holder decides whether it may start tasks, in milliseconds.
 *
 * @param jobs how far its copy of the jobs may lag behind the store
 * @param workers how far its copy of the worker registry may lag behind the store
 * @param operator how far its copy of the operator's rows may lag behind the store
 * @param lease the time since the lease was last renewed
 * @param stored the time since progress was last stored, if it has been in this term
 */
record HolderAges(long jobs, long workers, long operator, long lease, OptionalLong stored) {
    HolderAges {
        Checks.notNull("stored", stored);
    }
}
