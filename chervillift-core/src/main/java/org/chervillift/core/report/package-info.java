/** Counts answers against objectives, and works out how fast error budgets burn. */
package org.chervillift.core.report;
