/** Decides at submission which jobs cannot be served, and when their callers retry. */
package org.chervillift.core.tasks.admission;
