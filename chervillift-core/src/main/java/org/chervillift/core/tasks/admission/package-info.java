/** Decides at submission which jobs cannot be served, and when their callers come back. */
package org.chervillift.core.tasks.admission;
