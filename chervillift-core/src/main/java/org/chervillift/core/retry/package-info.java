/** Decides when a failed attempt is retried and when the request fails. */
package org.chervillift.core.retry;
