/** A tree of supervisors that restarts a failed part without losing the rest. */
package org.chervillift.runtime.supervision;
