/**
 * Takes and returns permits in the platform's tables, and acquires a permit for each upstream
 * request.
 */
package org.chervillift.daemon.limits;
