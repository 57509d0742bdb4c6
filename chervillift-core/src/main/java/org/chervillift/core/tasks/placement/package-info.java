/** Decisions on where tasks run best: near their data, and on workers that are not slow. */
package org.chervillift.core.tasks.placement;
