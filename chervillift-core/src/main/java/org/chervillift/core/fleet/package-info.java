/** The fleet as a decision sees it: rows with versions, health, and conditional writes. */
package org.chervillift.core.fleet;
