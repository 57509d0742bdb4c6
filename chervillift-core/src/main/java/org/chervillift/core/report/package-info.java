/** Counts answers against service-level objectives and computes error-budget burn rates. */
package org.chervillift.core.report;
