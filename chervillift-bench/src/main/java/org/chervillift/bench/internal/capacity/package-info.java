/** Slopes of state, messages and processor time, and what they give at the planned size. */
package org.chervillift.bench.internal.capacity;
