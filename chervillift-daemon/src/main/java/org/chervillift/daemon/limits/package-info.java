/** Carries out the moves of permits, and gives each request to an upstream its permit. */
package org.chervillift.daemon.limits;
