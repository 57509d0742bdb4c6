/** Carries out the course of each request: claims, attempts and the one answer. */
package org.chervillift.daemon.requests;
